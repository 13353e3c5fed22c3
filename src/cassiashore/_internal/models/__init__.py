"""Small value types shared by all parts."""
