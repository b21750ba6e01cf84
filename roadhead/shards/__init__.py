"""The machines, parted into shares among the controllers."""
