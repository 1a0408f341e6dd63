"""Implementation of the public modules; import it only from inside this workspace."""
