# The settings and drain models and their mutations.
amaranth_model(settings holds)
amaranth_model(settings caught MUTATION_BLIND_WRITE)
amaranth_model(settings caught MUTATION_ABSENT_IS_LOST)
amaranth_model(settings caught MUTATION_TAKE_LOWER)
amaranth_model(settings caught MUTATION_NO_READ_BACK)

amaranth_model(drain holds)
amaranth_model(drain caught MUTATION_EXIT_EARLY)
amaranth_model(drain caught MUTATION_ACCEPT_WHILE_LEAVING)
amaranth_model(drain caught MUTATION_SEND_ANYWAY)
