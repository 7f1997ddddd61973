"""Shows the product at work on one machine."""
