package org.wasabilug.internal.serving;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Assigns tasks to instances by rendezvous hashing (highest random weight).
 *
 * <p>Instances that know the same set of instances choose the same ones without communicating. If
 * an instance is lost, only its own tasks move.
 */
public final class RendezvousHashing {
    private static final Comparator<Candidate> HIGHEST_FIRST =
            Comparator.comparingLong(Candidate::weight).thenComparing(Candidate::name).reversed();

    /** Half the number of weights. */
    private static final double HALF_RANGE = 0x1p63;

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

    /**
     * Returns whether an instance is among those that {@link #choose} returns for a task.
     *
     * @param task name of the task
     * @param instance name of the instance
     * @param instances names of the available instances, in any order
     * @param count maximum number of instances to choose
     */
    public static boolean isChosen(String task, String instance, Set<String> instances, int count) {
        Candidate own = new Candidate(instance, weight(task, instance));
        return instances.stream()
                        .map(name -> new Candidate(name, weight(task, name)))
                        .filter(other -> HIGHEST_FIRST.compare(other, own) < 0)
                        .limit(count)
                        .count()
                < count;
    }

    /**
     * Returns whether the weight of an instance for a task is in the highest part of all weights.
     * Of instances that do not know each other, about this part is chosen.
     *
     * @param task name of the task
     * @param instance name of the instance
     * @param part the part, from 0 to 1
     */
    public static boolean isInPart(String task, String instance, double part) {
        return HALF_RANGE - weight(task, instance) < 2 * HALF_RANGE * part;
    }

    private static long weight(String task, String instance) {
        return Hashing.murmur3_128()
                .hashString(task + "/" + instance, StandardCharsets.UTF_8)
                .asLong();
    }
}
