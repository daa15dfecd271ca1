package org.wasabilug.internal.serving;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses instances for a task by highest random weight.
 *
 * <p>Instances that know the same others choose alike without a word; where one is lost, only its
 * own tasks move.
 */
public final class RendezvousHashing {
    private RendezvousHashing() {}

    /**
     * Chooses instances for a task.
     *
     * @param task name of the task
     * @param instances names of instances, in any order
     * @param count how many to choose
     * @return at most so many names, the first choice first
     */
    public static List<String> choose(String task, Collection<String> instances, int count) {
        return instances.stream()
                .distinct()
                .sorted(
                        Comparator.<String>comparingLong(name -> weight(task, name))
                                .thenComparing(Comparator.naturalOrder())
                                .reversed())
                .limit(count)
                .toList();
    }

    private static long weight(String task, String instance) {
        return Hashing.murmur3_128()
                .hashString(task + "/" + instance, StandardCharsets.UTF_8)
                .asLong();
    }
}
