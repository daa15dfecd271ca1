package org.wasabilug.operator.internal.client;

import java.net.URI;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/** The instances that a command may turn to. */
public final class Fleet {
    private static final Set<String> WORTH_ANOTHER_INSTANCE =
            Set.of("PLATFORM_UNAVAILABLE", "OUTCOME_UNKNOWN", "STOPPING", "INTERNAL");

    private final InstanceClient mClient;
    private final List<URI> mInstances;

    /**
     * Creates the fleet.
     *
     * @param client sends requests
     * @param instances base addresses, in the order to try; at least one
     */
    public Fleet(InstanceClient client, List<URI> instances) {
        mClient = client;
        mInstances = List.copyOf(instances);
    }

    /**
     * Gets a path from the first instance that can answer.
     *
     * @param path the path
     * @return what came of it
     */
    public Reply get(String path) {
        return untilAnswered(instance -> mClient.get(instance, path));
    }

    /**
     * Posts a ticket to the first instance that can answer. A ticket takes effect once, however
     * often it is posted.
     *
     * @param path the path
     * @param ticket JSON of the ticket
     * @return what came of it; of several failures the one that leaves more open
     */
    public Reply post(String path, String ticket) {
        return untilAnswered(instance -> mClient.post(instance, path, ticket));
    }

    /**
     * Gets a path from every instance.
     *
     * @param path the path
     * @return a reply for each instance
     */
    public List<Reply> getFromAll(String path) {
        return mInstances.parallelStream().map(instance -> mClient.get(instance, path)).toList();
    }

    private Reply untilAnswered(Function<URI, Reply> attempt) {
        Reply worst = attempt.apply(mInstances.getFirst());
        for (URI instance : mInstances.subList(1, mInstances.size())) {
            if (isFinal(worst)) {
                return worst;
            }
            Reply next = attempt.apply(instance);
            worst = isFinal(next) || !leavesOutcomeOpen(worst) ? next : worst;
        }
        return worst;
    }

    private static boolean isFinal(Reply reply) {
        return switch (reply) {
            case Reply.Answered answered -> true;
            case Reply.Refused refused -> !WORTH_ANOTHER_INSTANCE.contains(refused.code());
            case Reply.Unreachable unreachable -> false;
        };
    }

    /**
     * Tells whether a posted ticket may have been accepted all the same.
     *
     * @param reply what came of it
     * @return true where only asking again can tell
     */
    public static boolean leavesOutcomeOpen(Reply reply) {
        return switch (reply) {
            case Reply.Answered answered -> false;
            case Reply.Refused refused ->
                    refused.problem().path("runState").asText().equals("OUTCOME_UNKNOWN");
            case Reply.Unreachable unreachable -> unreachable.sent();
        };
    }
}
