"""Stand-ins for the platform: workers, table service, object store, membership list."""
