package org.wasabilug.tableservice.wire;

/** Paths, query parameters and headers of the platform's services. */
public final class PlatformPaths {
    /** Commits a transaction. */
    public static final String TRANSACTIONS = "/v1/table/transactions";

    /** Reads rows. */
    public static final String READS = "/v1/table/reads";

    /** Reads or writes an object. */
    public static final String OBJECTS = "/v1/objects";

    /** Query parameter that names the object. */
    public static final String OBJECT_NAME_PARAMETER = "name";

    /** Lists live and leaving instances. */
    public static final String INSTANCES = "/v1/instances";

    /** Header that names the instance that asks. */
    public static final String INSTANCE_HEADER = "Wasabilug-Instance";

    private PlatformPaths() {}
}
