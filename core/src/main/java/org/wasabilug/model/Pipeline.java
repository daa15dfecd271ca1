package org.wasabilug.model;

import java.time.Duration;
import java.util.List;

/**
 * Stages that together answer one request.
 *
 * @param name name of the pipeline
 * @param stages stages in the order of the answer; each reads only stages before it
 * @param deadline time for the whole answer where the caller names none
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

    /**
     * Starts building.
     *
     * @return a builder without values
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Starts building from this state.
     *
     * @return a builder that holds every value of this object
     */
    public Builder toBuilder() {
        Builder builder = new Builder();
        builder.mName = name;
        builder.mStages = stages;
        builder.mDeadline = deadline;
        return builder;
    }

    /** Builds a {@link Pipeline}. */
    public static final class Builder {
        private PipelineName mName;
        private List<Stage> mStages = List.of();
        private Duration mDeadline = Duration.ofSeconds(4);

        private Builder() {}

        /**
         * Sets the value of {@link Pipeline#name()}.
         *
         * @param value name of the pipeline
         * @return this builder
         */
        public Builder name(PipelineName value) {
            mName = value;
            return this;
        }

        /**
         * Sets the value of {@link Pipeline#stages()}.
         *
         * @param value stages in the order of the answer; each reads only stages before it
         * @return this builder
         */
        public Builder stages(List<Stage> value) {
            mStages = value;
            return this;
        }

        /**
         * Sets the value of {@link Pipeline#deadline()}.
         *
         * @param value time for the whole answer where the caller names none
         * @return this builder
         */
        public Builder deadline(Duration value) {
            mDeadline = value;
            return this;
        }

        /**
         * Builds the object.
         *
         * @return the immutable object
         */
        public Pipeline build() {
            return new Pipeline(mName, mStages, mDeadline);
        }
    }
}
