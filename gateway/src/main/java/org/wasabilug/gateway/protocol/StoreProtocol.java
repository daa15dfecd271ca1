package org.wasabilug.gateway.protocol;

import java.util.Optional;
import org.wasabilug.serving.EndpointRegistration;
import org.wasabilug.serving.ServingConfiguration;

/** Calls of the store and the formats of what lies in it. */
public interface StoreProtocol {
    /**
     * Names the table of the configuration.
     *
     * @return the name
     */
    String configurationTable();

    /**
     * Names the table in which endpoints register.
     *
     * @return the name
     */
    String endpointTable();

    /**
     * Makes the target of a read of a whole table.
     *
     * @param table the table
     * @param fromKey first key; empty for the beginning
     * @return path and query of a GET
     */
    String readTarget(String table, String fromKey);

    /**
     * Makes the target of a read of changes.
     *
     * @param table the table
     * @param afterVersion version up to which changes are known
     * @param waitMillis longest wait for a change
     * @return path and query of a GET
     */
    String changesTarget(String table, long afterVersion, long waitMillis);

    /**
     * Makes the target of a write.
     *
     * @return path of a POST
     */
    String writeTarget();

    /**
     * Makes the body of a write of one row.
     *
     * @param table the table
     * @param key the key
     * @param value the content
     * @return the body
     */
    byte[] writeBody(String table, String key, byte[] value);

    /**
     * Reads an answer with rows.
     *
     * @param body the answer's body
     * @return its content
     * @throws UnreadableException where it is not such an answer
     */
    StorePage readPage(byte[] body);

    /**
     * Reads a configuration, where a row of the configuration's table is one.
     *
     * @param row the row
     * @return the configuration, or empty for another row
     * @throws UnreadableException where it can't be read
     */
    Optional<ServingConfiguration> readConfiguration(StoredRow row);

    /**
     * Reads which failure domain a row of the configuration's table takes out of use.
     *
     * @param row the row
     * @return name of the domain, or empty for another row
     */
    Optional<String> readOutOfServiceDomain(StoredRow row);

    /**
     * Reads a registration.
     *
     * @param row a row of the endpoints' table
     * @return the registration
     * @throws UnreadableException where it names no endpoint that may be used
     */
    EndpointRegistration readRegistration(StoredRow row);
}
