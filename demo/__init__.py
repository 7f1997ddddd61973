"""End-to-end demo of the product on one machine."""
