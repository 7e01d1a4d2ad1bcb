/** Client accounts, templates, keys and routes. */
package org.cranberrybend.core.account;
