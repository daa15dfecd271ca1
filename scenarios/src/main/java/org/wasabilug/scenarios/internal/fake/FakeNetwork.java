package org.wasabilug.scenarios.internal.fake;

import java.util.HashSet;
import java.util.Set;
import org.wasabilug.model.FailureDomainName;

/** Network between failure domains. Each direction of a link can be cut separately. */
public final class FakeNetwork {
    private final Set<Link> mCutLinks = new HashSet<>();

    private record Link(FailureDomainName from, FailureDomainName to) {}

    /**
     * Cuts or heals one direction of a link.
     *
     * @param from sending failure domain
     * @param to receiving failure domain
     * @param cut true to cut the direction, false to heal it
     */
    public void setCut(FailureDomainName from, FailureDomainName to, boolean cut) {
        Link link = new Link(from, to);
        if (cut) {
            mCutLinks.add(link);
        } else {
            mCutLinks.remove(link);
        }
    }

    /**
     * Returns whether a message sent at the current time is delivered.
     *
     * @param from sending failure domain
     * @param to receiving failure domain
     * @return false if this direction is cut
     */
    public boolean delivers(FailureDomainName from, FailureDomainName to) {
        return !mCutLinks.contains(new Link(from, to));
    }
}
