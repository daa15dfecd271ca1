package org.wasabilug.bench.internal.virtual;

import java.util.Locale;
import org.wasabilug.scenarios.internal.fleet.FleetShape;

/** A deployment that experiments run on. */
public enum Deployment {
    /** Refrigerant records: eight generators. */
    FRIGOVAL,
    /** District heating: thirteen generators. */
    SERRANO;

    /**
     * Returns instances, endpoints and configuration of the deployment.
     *
     * @return the shape of its fleet
     */
    public FleetShape shape() {
        return switch (this) {
            case FRIGOVAL -> FleetShape.frigoval();
            case SERRANO -> FleetShape.serrano();
        };
    }

    /**
     * Returns the name in reports and on the command line.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
