package org.wasabilug.standin.internal.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.wasabilug.port.ListedInstance;

/** The instance list with its past, so that it can be shown as it was a while ago. */
public final class LaggingList {
    private static final int MAXIMUM_VERSIONS = 4096;

    private final Deque<Version> mVersions = new ArrayDeque<>();

    /** Creates an empty list. */
    public LaggingList() {
        mVersions.addLast(new Version(Long.MIN_VALUE, List.of()));
    }

    /**
     * Adds an instance or replaces the one of the same name and role.
     *
     * @param instance the entry
     * @param nowNanos monotonic time in nanoseconds
     */
    public synchronized void put(ListedInstance instance, long nowNanos) {
        List<ListedInstance> next = without(instance.name());
        next.add(instance);
        add(next, nowNanos);
    }

    /**
     * Removes an instance where it is listed.
     *
     * @param name name of the instance
     * @param nowNanos monotonic time in nanoseconds
     */
    public synchronized void remove(String name, long nowNanos) {
        add(without(name), nowNanos);
    }

    /**
     * Shows the list as it was.
     *
     * @param atNanos monotonic time in nanoseconds
     * @return the entries at that time
     */
    public synchronized List<ListedInstance> at(long atNanos) {
        List<ListedInstance> shown = mVersions.getFirst().instances();
        for (Version version : mVersions) {
            boolean first = version.sinceNanos() == Long.MIN_VALUE;
            if (first || version.sinceNanos() - atNanos <= 0) {
                shown = version.instances();
            }
        }
        return shown;
    }

    private List<ListedInstance> without(String name) {
        List<ListedInstance> rest = new ArrayList<>(mVersions.getLast().instances());
        rest.removeIf(instance -> instance.name().equals(name));
        return rest;
    }

    private void add(List<ListedInstance> instances, long nowNanos) {
        mVersions.addLast(new Version(nowNanos, List.copyOf(instances)));
        if (mVersions.size() > MAXIMUM_VERSIONS) {
            mVersions.removeFirst();
        }
    }

    private record Version(long sinceNanos, List<ListedInstance> instances) {}
}
