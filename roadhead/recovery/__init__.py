"""What ended controllers leave behind, and who goes on with it."""
