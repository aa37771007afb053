"""The client of discovery: long polls for the endpoint list, and its parsing."""
