package org.kumquatvane.http.internal;

import java.security.KeyStore;
import java.security.Security;
import javax.net.ssl.KeyManager;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.KeyManagerFactorySpi;
import javax.net.ssl.ManagerFactoryParameters;
import org.jspecify.annotations.Nullable;

/** Adapts one key manager to the factory interface that ServiceTalk requires. */
public final class SingleKeyManagerFactory extends KeyManagerFactory {
  /**
   * Creates a factory.
   *
   * @param manager the manager
   */
  public SingleKeyManagerFactory(KeyManager manager) {
    super(new Spi(manager), Security.getProviders()[0], "single");
  }

  private static final class Spi extends KeyManagerFactorySpi {
    private final KeyManager manager;

    private Spi(KeyManager manager) {
      this.manager = manager;
    }

    @Override
    protected void engineInit(@Nullable KeyStore keyStore, char @Nullable [] password) {}

    @Override
    protected void engineInit(ManagerFactoryParameters parameters) {}

    @Override
    protected KeyManager[] engineGetKeyManagers() {
      return new KeyManager[] {manager};
    }
  }
}
