package org.wasabilug.model;

/** Whole state of one object that operators configure through tickets. */
public sealed interface ConfigurationObject
        permits FailureDomain, Pool, Endpoint, Pipeline, Workspace, OperatorAccount, EngineTarget {
    /**
     * Identity of this object.
     *
     * @return kind and name
     */
    ObjectKey objectKey();
}
