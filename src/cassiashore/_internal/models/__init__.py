"""Small value types shared by all packages."""
