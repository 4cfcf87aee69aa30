"""Small stand-ins for the engines, services and platform, and a launcher."""
