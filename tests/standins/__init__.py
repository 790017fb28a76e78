"""Stand-ins for what surrounds ryelatch; none belongs to the product."""
