"""What a controller lets in, so that it can keep serving whoever it let in."""
