"""The decisions and the document model of radishstack, without I/O."""
