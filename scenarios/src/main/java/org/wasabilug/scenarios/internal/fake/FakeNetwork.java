package org.wasabilug.scenarios.internal.fake;

import java.util.HashSet;
import java.util.Set;
import org.wasabilug.model.FailureDomainName;

/** Links between failure domains; each direction may be cut by itself. */
public final class FakeNetwork {
    private final Set<Link> mCutLinks = new HashSet<>();

    private record Link(FailureDomainName from, FailureDomainName to) {}

    /**
     * Cuts or heals one direction.
     *
     * @param from sending failure domain
     * @param to receiving failure domain
     * @param cut false to heal it
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
     * Whether a message gets through at this moment.
     *
     * @param from sending failure domain
     * @param to receiving failure domain
     * @return false where that direction is cut
     */
    public boolean delivers(FailureDomainName from, FailureDomainName to) {
        return !mCutLinks.contains(new Link(from, to));
    }
}
