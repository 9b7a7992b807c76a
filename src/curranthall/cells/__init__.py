"""A cell: the workers of a failure domain, held by one entry at a time, and what runs on them."""
