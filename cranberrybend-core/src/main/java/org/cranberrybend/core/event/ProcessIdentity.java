package org.cranberrybend.core.event;

/**
 * Identity of one incarnation of a process.
 *
 * @param instance name of the instance
 * @param role role of the process, such as {@code router}
 * @param incarnation start time in milliseconds since the epoch; a later incarnation has a higher value
 * @param zone availability zone
 * @param region region
 */
public record ProcessIdentity(String instance, String role, long incarnation, String zone, String region) {
    public ProcessIdentity {
        if (instance.isEmpty() || role.isEmpty() || zone.isEmpty() || region.isEmpty()) {
            throw new IllegalArgumentException("instance, role, zone and region must not be empty");
        }
        if (instance.indexOf('/') >= 0 || role.indexOf('/') >= 0) {
            throw new IllegalArgumentException("instance and role must not contain '/'");
        }
    }

    /** Returns the member identifier, {@code instance/role}. */
    public String memberId() {
        return instance + "/" + role;
    }
}
