package org.wasabilug.standin.internal.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.wasabilug.port.ListedInstance;

/**
 * The instance list with its past versions, so that it can be returned as it was at an earlier
 * time.
 */
public final class InstanceListHistory {
    private static final int MAXIMUM_VERSIONS = 4096;

    private final Deque<Version> mVersions = new ArrayDeque<>();

    /** Creates an empty list. */
    public InstanceListHistory() {
        mVersions.addLast(new Version(Long.MIN_VALUE, List.of()));
    }

    /**
     * Adds an instance, replacing an entry of the same name.
     *
     * @param instance the entry
     * @param nowNanos current time, monotonic, in nanoseconds
     */
    public synchronized void put(ListedInstance instance, long nowNanos) {
        List<ListedInstance> next = without(instance.name());
        next.add(instance);
        addVersion(next, nowNanos);
    }

    /**
     * Removes an instance if it is listed.
     *
     * @param name name of the instance
     * @param nowNanos current time, monotonic, in nanoseconds
     */
    public synchronized void remove(String name, long nowNanos) {
        addVersion(without(name), nowNanos);
    }

    /**
     * Returns the entries as of a time.
     *
     * @param atNanos monotonic time, in nanoseconds
     */
    public synchronized List<ListedInstance> at(long atNanos) {
        List<ListedInstance> instances = mVersions.getFirst().instances();
        for (Version version : mVersions) {
            boolean first = version.sinceNanos() == Long.MIN_VALUE;
            if (first || version.sinceNanos() - atNanos <= 0) {
                instances = version.instances();
            }
        }
        return instances;
    }

    private List<ListedInstance> without(String name) {
        List<ListedInstance> remaining = new ArrayList<>(mVersions.getLast().instances());
        remaining.removeIf(instance -> instance.name().equals(name));
        return remaining;
    }

    private void addVersion(List<ListedInstance> instances, long nowNanos) {
        mVersions.addLast(new Version(nowNanos, List.copyOf(instances)));
        if (mVersions.size() > MAXIMUM_VERSIONS) {
            mVersions.removeFirst();
        }
    }

    private record Version(long sinceNanos, List<ListedInstance> instances) {}
}
