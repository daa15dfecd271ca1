package org.wasabilug.internal.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Orders the instances that relay connections to endpoints which this one can't reach. */
public final class ConnectionRelays {
    private ConnectionRelays() {}

    /**
     * Chooses relays to a group of endpoints. Those in the failure domain of the endpoints come
     * first, as nothing but that domain lies between them; within each part the order is random,
     * which spreads the load.
     *
     * @param group the group
     * @param candidates the other instances that accept work
     * @param maximum maximum number of relays
     * @param random source of the random order
     * @return names of the relays, the preferred first; empty if no other instance reaches the
     *     group
     */
    public static List<String> choose(
            EndpointGroup group,
            Collection<RelayCandidate> candidates,
            int maximum,
            UniformRandomProvider random) {
        List<RelayCandidate> reaching = new ArrayList<>(candidates);
        reaching.removeIf(each -> !each.reaches(group));
        shuffle(reaching, random);
        reaching.sort(Comparator.comparing(each -> !each.isBeside(group)));
        return reaching.stream().limit(maximum).map(RelayCandidate::name).toList();
    }

    private static void shuffle(List<RelayCandidate> candidates, UniformRandomProvider random) {
        for (int last = candidates.size() - 1; last > 0; last--) {
            Collections.swap(candidates, last, random.nextInt(last + 1));
        }
    }
}
