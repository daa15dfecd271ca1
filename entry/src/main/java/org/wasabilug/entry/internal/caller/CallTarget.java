package org.wasabilug.entry.internal.caller;

import java.util.List;
import java.util.Optional;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.model.NameRules;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.PipelineName;
import org.wasabilug.model.Pool;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.Stage;
import org.wasabilug.model.StageName;
import org.wasabilug.model.Workspace;

/** What a caller's request runs. */
sealed interface CallTarget {
    /** Name of the only stage of a plain service. */
    StageName SERVICE_STAGE = new StageName("service");

    /**
     * A pipeline.
     *
     * @param name name of the pipeline
     */
    record PipelineTarget(PipelineName name) implements CallTarget {}

    /**
     * A plain service: an exposed pool.
     *
     * @param name name of the pool
     */
    record ServiceTarget(PoolName name) implements CallTarget {}

    /**
     * Parses a path of the form v1/pipelines/NAME/requests or v1/services/POOL/requests.
     *
     * @param segments segments of the path
     * @return the target; empty for any other path
     */
    static Optional<CallTarget> of(List<String> segments) {
        if (segments.size() != 4
                || !segments.get(0).equals("v1")
                || !segments.get(3).equals("requests")
                || !NameRules.isValid(segments.get(2))) {
            return Optional.empty();
        }
        String name = segments.get(2);
        return switch (segments.get(1)) {
            case "pipelines" -> Optional.of(new PipelineTarget(new PipelineName(name)));
            case "services" -> Optional.of(new ServiceTarget(new PoolName(name)));
            default -> Optional.empty();
        };
    }

    /** Returns kind and name, for error messages. */
    default String description() {
        return switch (this) {
            case PipelineTarget pipeline -> "pipeline '" + pipeline.name() + "'";
            case ServiceTarget service -> "service '" + service.name() + "'";
        };
    }

    /** Returns whether a workspace may use this target. */
    default boolean isAllowedFor(Workspace workspace) {
        return switch (this) {
            case PipelineTarget pipeline -> workspace.pipelines().contains(pipeline.name());
            case ServiceTarget service -> workspace.services().contains(service.name());
        };
    }

    /**
     * Returns the pipeline to run; for a plain service, a pipeline of one stage.
     *
     * @param configuration active configuration
     * @return the pipeline; empty if the configuration has no such target
     */
    default Optional<Pipeline> resolve(Configuration configuration) {
        return switch (this) {
            case PipelineTarget pipeline -> configuration.pipeline(pipeline.name());
            case ServiceTarget service ->
                    configuration
                            .pool(service.name())
                            .filter(Pool::exposed)
                            .map(CallTarget::pipelineOf);
        };
    }

    private static Pipeline pipelineOf(Pool pool) {
        return Pipeline.builder()
                .name(new PipelineName(pool.name().value()))
                .stages(
                        List.of(
                                new Stage(
                                        SERVICE_STAGE, pool.name(), pool.repeatable(), List.of())))
                .build();
    }
}
