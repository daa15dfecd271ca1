package org.wasabilug.scenarios.internal.mutant;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.instance.DecisionCore;
import org.wasabilug.internal.instance.InstanceStatus;
import org.wasabilug.scenarios.internal.fleet.CoreFactory;
import org.wasabilug.scenarios.internal.language.ScenarioWorld;

/** The production decision core with an injected defect. */
final class MutantCore implements DecisionCore {
    private final DecisionCore mCore;
    private final Mutant mMutant;

    private MutantCore(DecisionCore core, Mutant mutant) {
        mCore = core;
        mMutant = mutant;
    }

    /** Returns a factory for cores that each have their own mutant instance. */
    static CoreFactory with(Supplier<Mutant> mutants) {
        return (name, domain, incarnation, seed) ->
                new MutantCore(
                        ScenarioWorld.CORES.create(name, domain, incarnation, seed), mutants.get());
    }

    @Override
    public List<InstanceAction> handle(InstanceEvent event, long nowNanos) {
        List<InstanceAction> actions = new ArrayList<>();
        for (InstanceAction action : mCore.handle(mMutant.alterEvent(event), nowNanos)) {
            actions.addAll(mMutant.alterAction(action));
        }
        actions.addAll(mMutant.actionsAfter(event));
        return actions;
    }

    @Override
    public Configuration configuration() {
        return mMutant.alterConfiguration(mCore.configuration());
    }

    @Override
    public InstanceStatus status(long nowNanos) {
        return mCore.status(nowNanos);
    }
}
