package org.wasabilug.tableservice.wire;

/** Paths, query parameters and headers of the platform's services. */
public final class PlatformPaths {
    /** Path that commits a transaction. */
    public static final String TRANSACTIONS = "/v1/table/transactions";

    /** Path that reads rows. */
    public static final String READS = "/v1/table/reads";

    /** Path that reads or writes an object. */
    public static final String OBJECTS = "/v1/objects";

    /** Query parameter with the name of the object. */
    public static final String OBJECT_NAME_PARAMETER = "name";

    /** Path that lists live and leaving instances. */
    public static final String INSTANCES = "/v1/instances";

    /** Request header with the name of the sending instance. */
    public static final String INSTANCE_HEADER = "Wasabilug-Instance";

    private PlatformPaths() {}
}
