/** Configuration state, its acceptance rules and its validation. */
package org.cranberrybend.core.configuration;
