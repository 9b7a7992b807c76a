"""A cell: the workers of a failure domain and their runs, owned by one entry at a time."""
