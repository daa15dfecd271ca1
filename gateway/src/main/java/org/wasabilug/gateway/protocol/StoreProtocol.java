package org.wasabilug.gateway.protocol;

import java.util.Optional;
import org.wasabilug.internal.rollout.RolloutOrder;
import org.wasabilug.internal.rollout.RolloutStatus;
import org.wasabilug.serving.EndpointRegistration;
import org.wasabilug.serving.ServingConfiguration;
import org.wasabilug.serving.StoreRevision;

/** Calls of the store and the formats of its contents. */
public interface StoreProtocol {
    /** Returns the name of the table that holds the configuration. */
    String configurationTable();

    /** Returns the name of the table in which endpoints register. */
    String endpointTable();

    /**
     * Returns the target of a read of a whole table.
     *
     * @param table name of the table
     * @param fromKey first key; empty for the beginning
     * @return path and query of a GET
     */
    String readTarget(String table, String fromKey);

    /**
     * Returns the target of a poll for changes.
     *
     * @param table name of the table
     * @param afterVersion version up to which changes are known
     * @param waitMillis maximum time to wait for a change
     * @return path and query of a GET
     */
    String changesTarget(String table, long afterVersion, long waitMillis);

    /** Returns the path to which writes are posted. */
    String writeTarget();

    /**
     * Encodes the body of a write of one row.
     *
     * @param table name of the table
     * @param key key of the row
     * @param value content of the row
     */
    byte[] writeBody(String table, String key, byte[] value);

    /**
     * Encodes the body of a write that the store refuses if the row has changed.
     *
     * @param table name of the table
     * @param row key and content of the row, and the version that is to be replaced; 0 if the row
     *     must not exist
     */
    byte[] conditionalWriteBody(String table, StoredRow row);

    /**
     * Returns the name of the header of all responses that tells the era: how often the store came
     * back from an older copy.
     */
    String eraHeader();

    /**
     * Decodes a page of rows.
     *
     * @param body body of the response
     * @param era era of the store that the response tells
     * @throws UnreadableException if the body does not have this format
     */
    StorePage readPage(byte[] body, long era);

    /**
     * Decodes the configuration if a row of the configuration table holds it.
     *
     * @param row the row
     * @return the configuration, or empty for another row
     * @throws UnreadableException if the configuration can't be decoded
     */
    Optional<ServingConfiguration> readConfiguration(StoredRow row);

    /**
     * Returns the failure domain that a row of the configuration table takes out of service.
     *
     * @param row the row
     * @return name of the failure domain, or empty for another row
     */
    Optional<String> readOutOfServiceDomain(StoredRow row);

    /** Returns the name of the table that holds the status of rollouts. */
    String statusTable();

    /**
     * Returns the key of the rows with a service's order and status.
     *
     * @param service name of the service
     */
    String rolloutKey(String service);

    /**
     * Returns the service that a row of the configuration table orders a rollout of.
     *
     * @param row the row
     * @return name of the service, or empty for another row
     */
    Optional<String> readRolloutService(StoredRow row);

    /**
     * Decodes the order of a rollout.
     *
     * @param row a row for which {@link #readRolloutService} returns a service
     * @throws UnreadableException if the row is no usable order
     */
    RolloutOrder readRolloutOrder(StoredRow row);

    /**
     * Decodes the status of a rollout.
     *
     * @param row a row of the status table
     * @throws UnreadableException if the row is no status
     */
    RolloutStatus readRolloutStatus(StoredRow row);

    /**
     * Encodes the body of a write of a status that the store refuses if the row of the order or
     * that of the status has changed.
     *
     * @param order the order
     * @param status the new status
     * @param replaced revision of the status that is to be replaced; version 0 if there must be
     *     none
     */
    byte[] rolloutStatusBody(RolloutOrder order, RolloutStatus status, StoreRevision replaced);

    /**
     * Decodes a registration.
     *
     * @param row a row of the endpoint table
     * @throws UnreadableException if the row does not describe a usable endpoint
     */
    EndpointRegistration readRegistration(StoredRow row);
}
