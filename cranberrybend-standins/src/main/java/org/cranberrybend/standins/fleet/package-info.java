/** Helper program of the local fleet: free ports, secrets, readiness, first configuration and its description. */
package org.cranberrybend.standins.fleet;
