/** The routing configuration that operators maintain: routes, services, client accounts and limits. */
package org.cranberrybend.entry.configuration;
