package org.wasabilug.internal.serving;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Assigns each stream to the instance that records in the store where it began.
 *
 * <p>Streams are divided into groups, so that few instances write, whatever the size of the fleet.
 */
public final class StreamOriginWriters {
    private static final int GROUPS = 32;

    private Set<String> mInstances = Set.of();
    private List<String> mWriters = List.of();

    /**
     * Returns the hash of a stream under which it is recorded: callers choose the ids, so it must
     * be hard to find two ids with the same hash.
     *
     * @param attempt id of the attempt that brought the first event
     */
    public static long hash(String attempt) {
        return Hashing.sha256().hashString(attempt, StandardCharsets.UTF_8).asLong();
    }

    /**
     * Sets the instances among which writers are chosen.
     *
     * @param instances names of the instances, at least one
     */
    public void update(Set<String> instances) {
        if (instances.equals(mInstances)) {
            return;
        }
        List<String> writers = new ArrayList<>();
        for (int group = 0; group < GROUPS; group++) {
            writers.addAll(RendezvousHashing.choose("stream-origins/" + group, instances, 1));
        }
        mInstances = Set.copyOf(instances);
        mWriters = List.copyOf(writers);
    }

    /**
     * Returns the name of the instance that records a stream; empty before the first update.
     *
     * @param hash hash of the stream
     */
    public String writer(long hash) {
        return mWriters.isEmpty() ? "" : mWriters.get(group(hash));
    }

    /**
     * Returns whether an instance records streams that it did not record before.
     *
     * @param formerWriters the writer of each group then; empty for none
     * @param instance name of the instance
     */
    public boolean recordsMoreThan(List<String> formerWriters, String instance) {
        for (int group = 0; group < mWriters.size(); group++) {
            boolean formerly =
                    !formerWriters.isEmpty() && formerWriters.get(group).equals(instance);
            if (!formerly && mWriters.get(group).equals(instance)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the writer of each group. */
    public List<String> writers() {
        return mWriters;
    }

    private static int group(long hash) {
        return Math.floorMod(hash, GROUPS);
    }
}
