"""Decision logic and document model of radishstack, free of I/O."""
