"""The demonstration: a whole deployment on this machine, driven as operators would."""
