package org.wasabilug;

import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.grant.ColdStartGrants;
import org.wasabilug.internal.grant.ColdStartGrantsBuilder;
import org.wasabilug.internal.lease.SessionLease;
import org.wasabilug.internal.lease.SessionLeaseBuilder;
import org.wasabilug.internal.ledger.LedgerSettings;
import org.wasabilug.internal.ledger.TableLedger;
import org.wasabilug.internal.quarantine.CrashQuarantine;
import org.wasabilug.internal.quarantine.QuarantineSettings;

/**
 * Coordination components for programs that store their durable state in a transactional table
 * service.
 *
 * <h2>Contents</h2>
 *
 * <ol>
 *   <li><a href="#1">Driving a component</a>
 *   <li><a href="#2">Session lease</a>
 *   <li><a href="#3">At-most-once ledger</a>
 *   <li><a href="#4">Cold-start grants</a>
 *   <li><a href="#5">Quarantine</a>
 * </ol>
 *
 * <h3 id="1">1. Driving a component</h3>
 *
 * <p>A component has no thread, clock or connection. It handles an event at a given monotonic time
 * and returns actions. Perform each action and pass its response to {@code handle}. Call {@code
 * tick} at the time that {@code nextWakeNanos} returns. Components are not thread-safe.
 *
 * <pre class="code"><code class="java">
 * for (InstanceAction action : lease.tick(System.nanoTime())) {
 *     InstanceEvent response = perform(action); // calls your table service
 *     lease.handle(response, System.nanoTime());
 * }
 * </code></pre>
 *
 * <h3 id="2">2. Session lease</h3>
 *
 * <p>Determines whether this process may still act under its instance name. Check it immediately
 * before each action:
 *
 * <pre class="code"><code class="java">
 * SessionLease lease = Wasabilug.sessionLease()
 *         .instance(new InstanceName("worker-1"))
 *         .incarnation(UUID.randomUUID().toString())
 *         .random(RandomSource.XO_RO_SHI_RO_128_PP.create(seed))
 *         .build();
 *
 * if (lease.isHeld(System.nanoTime())) {
 *     act(lease.epoch());
 * }
 * </code></pre>
 *
 * <h3 id="3">3. At-most-once ledger</h3>
 *
 * <p>Claim the stage before running it and record its result afterwards. Release a claim only if
 * the stage has certainly not run:
 *
 * <pre class="code"><code class="java">
 * LedgerStep step = ledger.claim(request, stage, contentDigest, System.nanoTime());
 * // Perform step.actions(); a later step settles the claim.
 * switch (settled.outcome()) {
 *     case ClaimOutcome.Granted granted -&gt; runOnce();
 *     case ClaimOutcome.Recorded recorded -&gt; answer(recorded.result());
 *     case ClaimOutcome.Unknown unknown -&gt; reportUnknownOutcome();
 *     ...
 * }
 * </code></pre>
 *
 * <h3 id="4">4. Cold-start grants</h3>
 *
 * <p>Limit the calls in flight at an endpoint in cold start, over all processes:
 *
 * <pre class="code"><code class="java">
 * if (callsInFlight(endpoint) &lt; grants.allowance(endpoint, System.nanoTime())) {
 *     call(endpoint);
 * } else {
 *     grants.recordDemand(endpoint.name(), System.nanoTime());
 * }
 * </code></pre>
 *
 * <h3 id="5">5. Quarantine</h3>
 *
 * <p>Identifies the content that crashes endpoints. Check both conditions before each dispatch:
 *
 * <pre class="code"><code class="java">
 * if (quarantine.classify(fingerprint, now) != Suspicion.QUARANTINED
 *         &amp;&amp; quarantine.mayRunAt(fingerprint, endpoint, now)) {
 *     quarantine.dispatched(attempt, fingerprint, endpoint, now);
 * }
 * </code></pre>
 */
public final class Wasabilug {
    private Wasabilug() {}

    /**
     * Creates a builder of a session lease, see section 2.
     *
     * @return a builder with default settings
     */
    public static SessionLeaseBuilder sessionLease() {
        return SessionLease.builder();
    }

    /**
     * Creates an at-most-once ledger, see section 3.
     *
     * @param incarnation identifier that no other process ever uses
     * @param random seeded random source for jitter
     * @return an empty ledger with default settings
     */
    public static TableLedger ledger(String incarnation, UniformRandomProvider random) {
        return new TableLedger(incarnation, random, LedgerSettings.DEFAULT);
    }

    /**
     * Creates a builder of cold-start grants, see section 4.
     *
     * @return a builder with default settings
     */
    public static ColdStartGrantsBuilder coldStartGrants() {
        return ColdStartGrants.builder();
    }

    /**
     * Creates a quarantine, see section 5.
     *
     * @return a quarantine with default settings and without evidence
     */
    public static CrashQuarantine quarantine() {
        return new CrashQuarantine(QuarantineSettings.DEFAULT);
    }
}
