package org.wasabilug.operator.internal.client;

import java.net.URI;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/** The instances that a command may use, tried in order. */
public final class Fleet {
    private static final Set<String> CODES_TO_TRY_NEXT_INSTANCE =
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
     * Sends a GET request to the first instance that can process it.
     *
     * @param path path of the resource
     * @return the response or refusal, or a failure if no instance can process the request
     */
    public Reply get(String path) {
        return tryInOrder(instance -> mClient.get(instance, path));
    }

    /**
     * Posts a ticket to the first instance that can process it. Retrying at another instance is
     * safe because a ticket takes effect once, however often it is posted.
     *
     * @param path path of the resource
     * @param ticket the ticket as JSON
     * @return the outcome; if every instance failed, an unknown outcome takes precedence over
     *     others
     */
    public Reply post(String path, String ticket) {
        return tryInOrder(instance -> mClient.post(instance, path, ticket));
    }

    /**
     * Sends a GET request to every instance.
     *
     * @param path path of the resource
     * @return one outcome per instance, in configured order
     */
    public List<Reply> getFromAll(String path) {
        return mInstances.parallelStream().map(instance -> mClient.get(instance, path)).toList();
    }

    private Reply tryInOrder(Function<URI, Reply> attempt) {
        Reply outcome = attempt.apply(mInstances.getFirst());
        for (URI instance : mInstances.subList(1, mInstances.size())) {
            if (isFinal(outcome)) {
                return outcome;
            }
            Reply next = attempt.apply(instance);
            outcome = isFinal(next) || !isOutcomeUnknown(outcome) ? next : outcome;
        }
        return outcome;
    }

    private static boolean isFinal(Reply reply) {
        return switch (reply) {
            case Reply.Answered answered -> true;
            case Reply.Refused refused -> !CODES_TO_TRY_NEXT_INSTANCE.contains(refused.code());
            case Reply.Unreachable unreachable -> false;
        };
    }

    /**
     * Returns whether a posted ticket may have been accepted despite the failure.
     *
     * @param reply outcome of the post
     * @return true if only another request can determine whether it was accepted
     */
    public static boolean isOutcomeUnknown(Reply reply) {
        return switch (reply) {
            case Reply.Answered answered -> false;
            case Reply.Refused refused ->
                    refused.problem().path("runState").asText().equals("OUTCOME_UNKNOWN");
            case Reply.Unreachable unreachable -> unreachable.sent();
        };
    }
}
