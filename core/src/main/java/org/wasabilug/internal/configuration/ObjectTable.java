package org.wasabilug.internal.configuration;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.AbstractCollection;
import java.util.Arrays;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.port.VersionedObject;

/**
 * Immutable hash table of objects with a fixed number of buckets. A modified copy shares all
 * unmodified buckets, so that the cost of a change does not depend on the number of objects.
 */
final class ObjectTable {
    static final int BUCKET_COUNT = 1_024;
    static final ObjectTable EMPTY = new ObjectTable(emptyBuckets(), 0, 0);

    private final VersionedObject[][] mBuckets;
    private final int mSize;
    private final long mHash;

    private ObjectTable(VersionedObject[][] buckets, int size, long hash) {
        mBuckets = buckets;
        mSize = size;
        mHash = hash;
    }

    private static VersionedObject[][] emptyBuckets() {
        VersionedObject[][] buckets = new VersionedObject[BUCKET_COUNT][];
        Arrays.fill(buckets, new VersionedObject[0]);
        return buckets;
    }

    static int bucketOf(ObjectKey key) {
        int spread = key.name().hashCode() * 31 + key.kind().ordinal();
        return ((spread * 0x9E3779B9) >>> 16) & (BUCKET_COUNT - 1);
    }

    private static long hashOf(VersionedObject object) {
        return Hashing.murmur3_128()
                .newHasher()
                .putInt(object.key().kind().ordinal())
                .putString(object.key().name(), StandardCharsets.UTF_8)
                .putLong(object.ticketNumber())
                .hash()
                .asLong();
    }

    Optional<VersionedObject> get(ObjectKey key) {
        VersionedObject[] bucket = mBuckets[bucketOf(key)];
        int index = indexOf(bucket, key);
        return index < 0 ? Optional.empty() : Optional.of(bucket[index]);
    }

    private static int indexOf(VersionedObject[] bucket, ObjectKey key) {
        for (int index = 0; index < bucket.length; index++) {
            if (bucket[index].key().equals(key)) {
                return index;
            }
        }
        return -1;
    }

    /**
     * Returns those of the offered objects that this table lacks or holds with a lower ticket
     * number.
     */
    List<VersionedObject> newer(Collection<VersionedObject> offered) {
        return offered.stream()
                .filter(
                        object ->
                                get(object.key())
                                        .map(held -> held.ticketNumber() < object.ticketNumber())
                                        .orElse(true))
                .toList();
    }

    /** Returns a copy in which the given objects replace older ones with the same key. */
    ObjectTable with(Collection<VersionedObject> objects) {
        VersionedObject[][] buckets = mBuckets.clone();
        boolean[] copied = new boolean[BUCKET_COUNT];
        int size = mSize;
        long hash = mHash;
        for (VersionedObject object : objects) {
            int number = bucketOf(object.key());
            int index = indexOf(buckets[number], object.key());
            if (index < 0) {
                VersionedObject[] old = buckets[number];
                buckets[number] = Arrays.copyOf(old, old.length + 1);
                buckets[number][old.length] = object;
                size++;
            } else {
                VersionedObject held = buckets[number][index];
                if (held.ticketNumber() >= object.ticketNumber()) {
                    continue;
                }
                hash -= hashOf(held);
                buckets[number] = copied[number] ? buckets[number] : buckets[number].clone();
                buckets[number][index] = object;
            }
            copied[number] = true;
            hash += hashOf(object);
        }
        return new ObjectTable(buckets, size, hash);
    }

    int size() {
        return mSize;
    }

    long hash() {
        return mHash;
    }

    Collection<VersionedObject> all() {
        return new AbstractCollection<>() {
            @Override
            public Iterator<VersionedObject> iterator() {
                return Arrays.stream(mBuckets).flatMap(Arrays::stream).iterator();
            }

            @Override
            public int size() {
                return mSize;
            }
        };
    }

    /**
     * Returns the objects of one part of the key space, which is divided into a power of two of
     * parts.
     */
    List<VersionedObject> part(int number, int count) {
        return IntStream.range(0, BUCKET_COUNT)
                .filter(bucket -> (bucket & (count - 1)) == number)
                .mapToObj(bucket -> mBuckets[bucket])
                .flatMap(Arrays::stream)
                .toList();
    }
}
