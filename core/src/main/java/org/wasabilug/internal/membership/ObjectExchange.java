package org.wasabilug.internal.membership;

import com.google.common.collect.Lists;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.configuration.ConfigurationState;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.port.PeerMessage;
import org.wasabilug.port.VersionedObject;

/**
 * Compares configurations with peers and exchanges complete objects. Only copies are exchanged:
 * peers don't accept changes, and a merge never replaces newer state by older.
 *
 * <p>A digest with a bucket count of 0 lists some objects only. A digest of a bucket lists all
 * objects that its sender holds in that bucket, and is always answered with an objects message,
 * which may be empty.
 */
final class ObjectExchange {
    /** Bucket count of a digest that lists some objects instead of a whole bucket. */
    static final int PARTIAL = 0;

    private static final int OBJECTS_PER_MESSAGE = 64;
    private static final int KEYS_PER_MESSAGE = 256;
    private static final int MAX_TRACKED_REQUESTS = 4_096;
    private static final long REQUEST_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final ConfigurationState mState;
    private final Map<ObjectKey, Long> mRequestedNanos = new HashMap<>();

    ObjectExchange(ConfigurationState state) {
        mState = state;
    }

    static Map<ObjectKey, Long> ticketNumbers(List<VersionedObject> objects) {
        return objects.stream()
                .collect(
                        Collectors.toMap(
                                VersionedObject::key, VersionedObject::ticketNumber, Math::max));
    }

    PeerMessage bucketDigest(int bucket, int count) {
        return new PeerMessage.Digest(
                bucket, count, ticketNumbers(mState.configuration().part(bucket, count)));
    }

    /** Returns digests that announce changed objects. */
    static List<PeerMessage> changeDigests(List<VersionedObject> changes) {
        return Lists.partition(changes, KEYS_PER_MESSAGE).stream()
                .map(part -> RecentChanges.partialDigest(ticketNumbers(part)))
                .toList();
    }

    /**
     * Answers a peer's digest with newer objects and with requests for objects that are newer
     * there.
     */
    List<PeerMessage> onDigest(PeerMessage.Digest digest, long nowNanos) {
        List<PeerMessage> answers = new ArrayList<>();
        if (digest.bucketCount() == PARTIAL) {
            List<VersionedObject> newer = newerOfListed(digest);
            if (!newer.isEmpty()) {
                answers.addAll(objectMessages(newer));
            }
        } else if (isValid(digest)) {
            answers.addAll(objectMessages(newerOfBucket(digest)));
        }
        answers.addAll(requestsFor(digest, nowNanos));
        return answers;
    }

    private static boolean isValid(PeerMessage.Digest digest) {
        int count = digest.bucketCount();
        return count > 0
                && count <= Configuration.MAXIMUM_PARTS
                && Integer.bitCount(count) == 1
                && digest.bucket() >= 0
                && digest.bucket() < count;
    }

    private List<VersionedObject> newerOfListed(PeerMessage.Digest digest) {
        return digest.ticketNumbers().keySet().stream()
                .sorted()
                .flatMap(key -> mState.configuration().object(key).stream())
                .filter(held -> held.ticketNumber() > digest.ticketNumbers().get(held.key()))
                .toList();
    }

    private List<VersionedObject> newerOfBucket(PeerMessage.Digest digest) {
        return mState.configuration().part(digest.bucket(), digest.bucketCount()).stream()
                .filter(
                        held ->
                                held.ticketNumber()
                                        > digest.ticketNumbers().getOrDefault(held.key(), 0L))
                .toList();
    }

    private List<PeerMessage> requestsFor(PeerMessage.Digest digest, long nowNanos) {
        List<ObjectKey> wanted =
                digest.ticketNumbers().entrySet().stream()
                        .filter(entry -> entry.getValue() > heldTicket(entry.getKey()))
                        .map(Map.Entry::getKey)
                        .filter(key -> shouldRequest(key, nowNanos))
                        .sorted()
                        .toList();
        return Lists.partition(wanted, KEYS_PER_MESSAGE).stream()
                .<PeerMessage>map(PeerMessage.ObjectsRequest::new)
                .toList();
    }

    private long heldTicket(ObjectKey key) {
        return mState.configuration().object(key).map(VersionedObject::ticketNumber).orElse(0L);
    }

    private boolean shouldRequest(ObjectKey key, long nowNanos) {
        Long requestedNanos = mRequestedNanos.get(key);
        if (requestedNanos != null && nowNanos - requestedNanos < REQUEST_RETRY_NANOS) {
            return false;
        }
        if (mRequestedNanos.size() >= MAX_TRACKED_REQUESTS) {
            mRequestedNanos.clear();
        }
        mRequestedNanos.put(key, nowNanos);
        return true;
    }

    /** Answers a peer's request for objects. */
    List<PeerMessage> onRequest(PeerMessage.ObjectsRequest request) {
        List<VersionedObject> found =
                request.keys().stream()
                        .limit(KEYS_PER_MESSAGE)
                        .flatMap(key -> mState.configuration().object(key).stream())
                        .toList();
        return found.isEmpty() ? List.of() : objectMessages(found);
    }

    /** Merges objects received from a peer. */
    void onObjects(PeerMessage.Objects objects) {
        mState.merge(objects.objects());
        objects.objects().forEach(object -> mRequestedNanos.remove(object.key()));
    }

    private static List<PeerMessage> objectMessages(List<VersionedObject> objects) {
        return objects.isEmpty()
                ? List.of(new PeerMessage.Objects(List.of()))
                : Lists.partition(objects, OBJECTS_PER_MESSAGE).stream()
                        .<PeerMessage>map(PeerMessage.Objects::new)
                        .toList();
    }
}
