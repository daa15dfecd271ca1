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
 * Coordination parts for programs that keep what must last in a transactional table service.
 *
 * <h2>Contents</h2>
 *
 * <ol>
 *   <li><a href="#1">How a part is driven</a>
 *   <li><a href="#2">Session lease</a>
 *   <li><a href="#3">At-most-once ledger</a>
 *   <li><a href="#4">Cold-start grants</a>
 *   <li><a href="#5">Quarantine</a>
 * </ol>
 *
 * <h3 id="1">1. How a part is driven</h3>
 *
 * <p>A part has no thread, clock or connection. It takes an event with the monotonic time and
 * returns actions. Perform each action, then hand its answer to {@code handle}. Call {@code tick}
 * when {@code nextWakeNanos} has come. One thread at a time may call a part.
 *
 * <pre class="code"><code class="java">
 * for (InstanceAction action : lease.tick(System.nanoTime())) {
 *     InstanceEvent answer = perform(action); // calls your table service
 *     lease.handle(answer, System.nanoTime());
 * }
 * </code></pre>
 *
 * <h3 id="2">2. Session lease</h3>
 *
 * <p>Tells whether this process may still act under its name. Ask right before each use:
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
 * <p>Claim before the work, record its result afterwards, release only what certainly did not run:
 *
 * <pre class="code"><code class="java">
 * LedgerStep step = ledger.claim(request, stage, contentDigest, System.nanoTime());
 * // Perform step.actions(); a later step settles the claim.
 * switch (settled.outcome()) {
 *     case ClaimOutcome.Granted granted -&gt; runOnce();
 *     case ClaimOutcome.Recorded recorded -&gt; answer(recorded.result());
 *     case ClaimOutcome.Unknown unknown -&gt; sayThatOutcomeIsUnknown();
 *     ...
 * }
 * </code></pre>
 *
 * <h3 id="4">4. Cold-start grants</h3>
 *
 * <p>Bounds the calls of all processes together at an endpoint that has just started:
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
 * <p>Finds the content that crashes endpoints. Ask both questions before each dispatch:
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
     * Starts building a session lease, see section 2.
     *
     * @return a builder with default times
     */
    public static SessionLeaseBuilder sessionLease() {
        return SessionLease.builder();
    }

    /**
     * Creates an at-most-once ledger, see section 3.
     *
     * @param incarnation text that no other process ever has
     * @param random seeded source of jitter
     * @return an empty ledger with default times and bounds
     */
    public static TableLedger ledger(String incarnation, UniformRandomProvider random) {
        return new TableLedger(incarnation, random, LedgerSettings.DEFAULT);
    }

    /**
     * Starts building cold-start grants, see section 4.
     *
     * @return a builder with default times
     */
    public static ColdStartGrantsBuilder coldStartGrants() {
        return ColdStartGrants.builder();
    }

    /**
     * Creates a quarantine, see section 5.
     *
     * @return a quarantine without evidence
     */
    public static CrashQuarantine quarantine() {
        return new CrashQuarantine(QuarantineSettings.DEFAULT);
    }
}
