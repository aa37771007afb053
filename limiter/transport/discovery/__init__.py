"""Client of discovery: long polls for the endpoint list, and parses it."""
