/** Configuration state with its history, replication and validation. */
package org.cranberrybend.core.configuration;
