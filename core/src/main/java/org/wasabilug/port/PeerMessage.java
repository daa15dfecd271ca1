package org.wasabilug.port;

import java.util.List;
import java.util.Map;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.model.WorkspaceName;

/**
 * Messages between entry instances. Peers exchange copies only; a peer never acknowledges a change.
 */
public sealed interface PeerMessage {
    /**
     * Heartbeat with the liveness and state of the sender.
     *
     * @param incarnation incarnation number of the sender's process
     * @param failureDomain the sender's failure domain
     * @param feedSequence sequence number of the last feed entry that the sender has applied
     * @param configurationHash hash over the key and ticket number of every object
     * @param stopping true if the sender accepts no new requests
     * @param configurationAgeMilliseconds time since the sender's configuration was last known to
     *     be the latest; -1 if it never was
     */
    record Heartbeat(
            long incarnation,
            FailureDomainName failureDomain,
            long feedSequence,
            long configurationHash,
            boolean stopping,
            long configurationAgeMilliseconds)
            implements PeerMessage {}

    /**
     * Ticket numbers of the objects in one bucket of the key space, or of some objects.
     *
     * @param bucket number of the bucket, from 0
     * @param bucketCount number of buckets; 0 if the digest lists some objects instead of a bucket
     * @param ticketNumbers ticket number of each object
     */
    record Digest(int bucket, int bucketCount, Map<ObjectKey, Long> ticketNumbers)
            implements PeerMessage {
        /** Copies the map. */
        public Digest {
            ticketNumbers = Map.copyOf(ticketNumbers);
        }
    }

    /**
     * Request for complete objects.
     *
     * @param keys keys of the objects
     */
    record ObjectsRequest(List<ObjectKey> keys) implements PeerMessage {
        /** Copies the list. */
        public ObjectsRequest {
            keys = List.copyOf(keys);
        }
    }

    /**
     * Complete objects.
     *
     * @param objects the objects with their ticket numbers
     */
    record Objects(List<VersionedObject> objects) implements PeerMessage {
        /** Copies the list. */
        public Objects {
            objects = List.copyOf(objects);
        }
    }

    /**
     * Crashes that the sender observed or received from peers.
     *
     * @param crashes evidence of the crashes
     */
    record Crashes(List<CrashEvidence> crashes) implements PeerMessage {
        /** Copies the list. */
        public Crashes {
            crashes = List.copyOf(crashes);
        }
    }

    /**
     * Usage of workspace limits at the sender.
     *
     * @param usage usage of each active workspace
     */
    record Usage(Map<WorkspaceName, WorkspaceUsage> usage) implements PeerMessage {
        /** Copies the map. */
        public Usage {
            usage = Map.copyOf(usage);
        }
    }
}
