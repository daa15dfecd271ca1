package org.wasabilug.internal.ticket;

import java.util.ArrayList;
import java.util.List;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EngineTarget;
import org.wasabilug.model.FailureDomain;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.model.ObjectKind;
import org.wasabilug.model.OperatorAccount;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.Pool;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.Workspace;

/** Collects the references from an object's state to other objects, with their fields. */
final class References {
    private final List<Reference> mReferences = new ArrayList<>();

    private References() {}

    static List<Reference> of(ConfigurationObject state) {
        References references = new References();
        references.collect(state);
        return references.mReferences;
    }

    private void collect(ConfigurationObject state) {
        switch (state) {
            case Endpoint endpoint -> {
                add("pool", ObjectKind.POOL, endpoint.pool().value());
                add("failureDomain", ObjectKind.FAILURE_DOMAIN, endpoint.failureDomain().value());
            }
            case Pipeline pipeline -> collectStages(pipeline);
            case Workspace workspace -> collectWorkspace(workspace);
            case EngineTarget target -> add("", ObjectKind.ENDPOINT, target.endpoint().value());
            case FailureDomain domain -> {}
            case Pool pool -> {}
            case OperatorAccount account -> {}
        }
    }

    private void collectStages(Pipeline pipeline) {
        for (int index = 0; index < pipeline.stages().size(); index++) {
            PoolName pool = pipeline.stages().get(index).pool();
            add("stages[" + index + "].pool", ObjectKind.POOL, pool.value());
        }
    }

    private void collectWorkspace(Workspace workspace) {
        workspace.pipelines().stream()
                .sorted()
                .forEach(name -> add("pipelines", ObjectKind.PIPELINE, name.value()));
        workspace.services().stream()
                .sorted()
                .forEach(name -> add("services", ObjectKind.POOL, name.value()));
    }

    private void add(String field, ObjectKind kind, String name) {
        mReferences.add(new Reference(field, new ObjectKey(kind, name)));
    }

    /**
     * A reference to another object.
     *
     * @param field field that holds the reference; empty if the object's own name is the reference
     * @param target key of the referenced object
     */
    record Reference(String field, ObjectKey target) {}
}
