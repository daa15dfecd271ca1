package org.wasabilug.port;

import java.util.List;
import java.util.Map;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.model.WorkspaceName;

/** What entry instances tell each other; they never acknowledge changes for one another. */
public sealed interface PeerMessage {
    /**
     * Liveness of the sender.
     *
     * @param incarnation number of the sender's process life
     * @param failureDomain the sender's failure domain
     * @param feedSequence last feed entry that the sender has applied
     * @param configurationHash hash over every object key and ticket number
     * @param stopping true where the sender takes no new requests
     * @param configurationAgeMilliseconds since the sender's configuration was last known to be the
     *     newest; -1 where it never was
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
     * Ticket numbers of the objects in one bucket of the key space.
     *
     * @param bucket number of the bucket, from 0
     * @param bucketCount how many buckets there are
     * @param ticketNumbers number for each object
     */
    record Digest(int bucket, int bucketCount, Map<ObjectKey, Long> ticketNumbers)
            implements PeerMessage {
        /** Copies the map. */
        public Digest {
            ticketNumbers = Map.copyOf(ticketNumbers);
        }
    }

    /**
     * Asks for whole objects.
     *
     * @param keys the objects
     */
    record ObjectsRequest(List<ObjectKey> keys) implements PeerMessage {
        /** Copies the list. */
        public ObjectsRequest {
            keys = List.copyOf(keys);
        }
    }

    /**
     * Whole objects.
     *
     * @param objects the objects with their tickets
     */
    record Objects(List<VersionedObject> objects) implements PeerMessage {
        /** Copies the list. */
        public Objects {
            objects = List.copyOf(objects);
        }
    }

    /**
     * Crashes that the sender saw or heard of.
     *
     * @param crashes the evidence
     */
    record Crashes(List<CrashEvidence> crashes) implements PeerMessage {
        /** Copies the list. */
        public Crashes {
            crashes = List.copyOf(crashes);
        }
    }

    /**
     * The sender's own use of workspace limits.
     *
     * @param usage use of each active workspace
     */
    record Usage(Map<WorkspaceName, WorkspaceUsage> usage) implements PeerMessage {
        /** Copies the map. */
        public Usage {
            usage = Map.copyOf(usage);
        }
    }
}
