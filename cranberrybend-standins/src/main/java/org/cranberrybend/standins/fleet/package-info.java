/** Helper program of the local fleet: free ports, secrets, readiness, first configuration and fleet description. */
package org.cranberrybend.standins.fleet;
