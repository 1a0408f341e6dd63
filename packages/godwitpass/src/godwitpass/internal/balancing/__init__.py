"""Which upstream a call goes to, decided on what this daemon measured itself."""
