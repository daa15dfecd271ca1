package org.wasabilug.model;

import java.time.Duration;
import java.util.List;

/**
 * Stages that together produce the answer to a request.
 *
 * @param name name of the pipeline
 * @param stages stages in the order of their results in the answer; each may read the results of
 *     earlier stages only
 * @param deadline default deadline for the complete answer, if the caller specifies none
 */
public record Pipeline(PipelineName name, List<Stage> stages, Duration deadline)
        implements ConfigurationObject {
    /** Copies the list. */
    public Pipeline {
        stages = List.copyOf(stages);
    }

    @Override
    public ObjectKey objectKey() {
        return new ObjectKey(ObjectKind.PIPELINE, name.value());
    }

    /** Returns a new builder with default values for the optional properties. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns a builder with the values of this object. */
    public Builder toBuilder() {
        Builder builder = new Builder();
        builder.mName = name;
        builder.mStages = stages;
        builder.mDeadline = deadline;
        return builder;
    }

    /** Builder of {@link Pipeline} objects. */
    public static final class Builder {
        private PipelineName mName;
        private List<Stage> mStages = List.of();
        private Duration mDeadline = Duration.ofSeconds(4);

        private Builder() {}

        /** Sets the name of the pipeline. */
        public Builder name(PipelineName value) {
            mName = value;
            return this;
        }

        /**
         * Sets the stages, in the order of their results in the answer; each may read the results
         * of earlier stages only.
         */
        public Builder stages(List<Stage> value) {
            mStages = value;
            return this;
        }

        /**
         * Sets the default deadline for the complete answer, for requests without one of their own.
         */
        public Builder deadline(Duration value) {
            mDeadline = value;
            return this;
        }

        /** Returns an immutable object with the values set so far, which are not validated. */
        public Pipeline build() {
            return new Pipeline(mName, mStages, mDeadline);
        }
    }
}
