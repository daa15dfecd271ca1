package org.wasabilug.internal.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.port.PeerMessage;
import org.wasabilug.port.VersionedObject;

/** Most recently changed objects, announced again to peers whose configuration differs. */
final class RecentChanges {
    private static final int CAPACITY = 32;

    private final LinkedHashMap<ObjectKey, Long> mTicketNumbers = new LinkedHashMap<>();

    void add(List<VersionedObject> objects) {
        for (VersionedObject object : objects) {
            mTicketNumbers.remove(object.key());
            mTicketNumbers.put(object.key(), object.ticketNumber());
        }
        while (mTicketNumbers.size() > CAPACITY) {
            mTicketNumbers.remove(mTicketNumbers.firstEntry().getKey());
        }
    }

    boolean isEmpty() {
        return mTicketNumbers.isEmpty();
    }

    PeerMessage digest() {
        return partialDigest(mTicketNumbers);
    }

    static PeerMessage partialDigest(Map<ObjectKey, Long> ticketNumbers) {
        return new PeerMessage.Digest(0, ObjectExchange.PARTIAL, ticketNumbers);
    }
}
