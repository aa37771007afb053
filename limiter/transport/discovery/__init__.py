"""Client of discovery: requests the endpoint list by long polls, and parses it."""
