/** The routing configuration that the operator writes: routes, services, client accounts and limits. */
package org.cranberrybend.entry.configuration;
