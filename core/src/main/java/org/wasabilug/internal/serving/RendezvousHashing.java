package org.wasabilug.internal.serving;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Assigns tasks to instances by rendezvous hashing (highest random weight).
 *
 * <p>Instances that know the same set of instances choose the same ones without communicating. If
 * an instance is lost, only its own tasks move.
 */
public final class RendezvousHashing {
    private static final Comparator<Candidate> HIGHEST_FIRST =
            Comparator.comparingLong(Candidate::weight).thenComparing(Candidate::name).reversed();

    private RendezvousHashing() {}

    private record Candidate(String name, long weight) {}

    /**
     * Chooses the instances for a task.
     *
     * @param task name of the task
     * @param instances names of the available instances, in any order
     * @param count maximum number of instances to choose
     * @return names of the chosen instances, highest weight first
     */
    public static List<String> choose(String task, Collection<String> instances, int count) {
        return instances.stream()
                .distinct()
                .map(name -> new Candidate(name, weight(task, name)))
                .sorted(HIGHEST_FIRST)
                .limit(count)
                .map(Candidate::name)
                .toList();
    }

    private static long weight(String task, String instance) {
        return Hashing.murmur3_128()
                .hashString(task + "/" + instance, StandardCharsets.UTF_8)
                .asLong();
    }
}
